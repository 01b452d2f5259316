// Internal: which build this is.

#ifndef cuminbridge_daemon_build_info_h
#define cuminbridge_daemon_build_info_h

namespace cuminbridge {

extern const char* const kBuildVersion; // of the project
// As "git describe" names it, with "-dirty" if files differ from it; "unknown"
// if the tree was built without git.
extern const char* const kBuildCommit;

} // namespace cuminbridge

#endif // cuminbridge_daemon_build_info_h
