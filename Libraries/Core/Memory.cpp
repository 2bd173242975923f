#include "Libraries/Core/Memory.h"

#include <malloc.h>

namespace lavender {

void
ReturnLargeBlocks()
{
  mallopt(M_MMAP_THRESHOLD, static_cast<int>(kReturnedBlockBytes));
  mallopt(M_TRIM_THRESHOLD, static_cast<int>(kReturnedBlockBytes));
}

void
ReturnFreedMemory()
{
  malloc_trim(0);
}

} // namespace lavender
