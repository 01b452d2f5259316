// cuminbridge ctl: the operators' command line, as a function.
//
//   int code = RunControl(argc, argv);
//
// It speaks the operators' HTTP interface and nothing else, so whatever it
// shows can be had by HTTP too. Exit codes are in ExitCode.

#ifndef cuminbridge_ctl_h
#define cuminbridge_ctl_h

namespace cuminbridge {

enum ExitCode
{
  ExitDone = 0,    // done, or shown
  ExitRefused = 1, // refused; nothing changed
  ExitUsage = 2,   // the command line is wrong
  ExitUnknown = 3, // no entry could be reached, or the outcome is unknown
};

int RunControl(int aCount, char** aArguments);

} // namespace cuminbridge

#endif // cuminbridge_ctl_h
