// Internal: what became of a job, from the logs of all entries.

#ifndef cuminbridge_ctl_explain_h
#define cuminbridge_ctl_explain_h

#include <string>
#include <vector>

namespace cuminbridge {

// The lines about a job in the order of time, with those about its targets and
// about changes of owner between its first line and its last. Each is made
// readable: "TIME ENTRY EVENT ITEM TARGET: DETAIL". Lines that are no JSON
// objects are left out. Times are those of the entries, whose clocks may
// differ.
std::vector<std::string> ExplainJob(const std::string& aJob,
                                    const std::vector<std::string>& aLines);

// "explain JOB FILE...": prints the lines. Returns an ExitCode.
int RunExplain(const std::vector<std::string>& aWords);

} // namespace cuminbridge

#endif // cuminbridge_ctl_explain_h
