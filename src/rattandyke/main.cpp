#include <rattandyke/result.h>

#include <iostream>

int
main()
{
  std::cout << "rattandyke " << RATTANDYKE_VERSION << '\n';
  return 0;
}
