// The program cuminbridgectl.

#include "cuminbridge/ctl.h"

int
main(int argc, char** argv)
{
  return cuminbridge::RunControl(argc, argv);
}
