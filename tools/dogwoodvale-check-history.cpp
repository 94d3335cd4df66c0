#include "tools/load/CheckTool.h"

int
main(int aCount, char** aValues)
{
  return dogwoodvale::load::RunCheckTool({ aValues + 1, aValues + aCount });
}
