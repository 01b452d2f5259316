# Writes build_info.cpp with the project's version and the commit of the tree.
# Run in each build; a file that stays the same is not written, so that nothing
# is compiled again. Never fails: without git, or in a tree without .git, the
# commit is "unknown".
set(COMMIT unknown)
if(GIT AND EXISTS ${TREE}/.git)
  execute_process(COMMAND ${GIT} describe --always --dirty
    WORKING_DIRECTORY ${TREE}
    TIMEOUT 10
    RESULT_VARIABLE RESULT
    OUTPUT_VARIABLE OUTPUT
    OUTPUT_STRIP_TRAILING_WHITESPACE
    ERROR_QUIET)
  if(RESULT STREQUAL 0 AND NOT OUTPUT STREQUAL "")
    # It becomes part of a string literal and of a metric's label.
    string(REGEX REPLACE "[^A-Za-z0-9._/+-]" "_" COMMIT ${OUTPUT})
  endif()
endif()
configure_file(${CMAKE_CURRENT_LIST_DIR}/build_info.cpp.in ${FILE} @ONLY)
