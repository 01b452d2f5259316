// Internal: the history of a job, from the logs of all entries.

#ifndef cuminbridge_ctl_explain_h
#define cuminbridge_ctl_explain_h

#include <string>
#include <vector>

namespace cuminbridge {

// Returns the log lines about a job in order of time. Between the job's first
// line and its last, adds the lines about its targets and about changes of
// owner. Each line is formatted as "TIME ENTRY EVENT ITEM TARGET: DETAIL".
// Input lines that are not JSON objects are ignored. Times are by the clocks of
// the entries, which may differ.
std::vector<std::string> ExplainJob(const std::string& aJob,
                                    const std::vector<std::string>& aLines);

// The command "explain JOB FILE...". Returns an ExitCode.
int RunExplain(const std::vector<std::string>& aWords);

} // namespace cuminbridge

#endif // cuminbridge_ctl_explain_h
