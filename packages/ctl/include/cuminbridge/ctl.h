// cuminbridge ctl: the operators' command line cuminbridgectl, as a function.
//
//   int code = RunControl(argc, argv);
//
// Everything that it shows of an entry comes from the entry's HTTP interfaces
// for operators and for callers, so any HTTP client can get it too.
// RunControl() returns an ExitCode.

#ifndef cuminbridge_ctl_h
#define cuminbridge_ctl_h

namespace cuminbridge {

enum ExitCode
{
  ExitDone = 0,    // done
  ExitRefused = 1, // refused; nothing changed
  ExitUsage = 2,   // wrong command line, or a file can't be opened
  ExitUnknown = 3, // no entry was reached, or the outcome is unknown
};

int RunControl(int aCount, char** aArguments);

} // namespace cuminbridge

#endif // cuminbridge_ctl_h
