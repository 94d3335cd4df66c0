#include "tools/load/LoadTool.h"

int
main(int aCount, char** aValues)
{
  return dogwoodvale::load::RunLoadTool({ aValues + 1, aValues + aCount });
}
