#include "dogwoodvale/Control"

int
main(int aCount, char** aValues)
{
  return dogwoodvale::RunControl({ aValues + 1, aValues + aCount });
}
