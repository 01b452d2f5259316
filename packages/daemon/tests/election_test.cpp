// Which entry is to own the fleet, on the entries of the grown fleets: a few
// with half a core, many with an eighth.

#include <catch2/catch.hpp>

#include "election.h"
#include "records.h"

using namespace cuminbridge;

TEST_CASE("the strongest entry goes first, the others in the order of strength")
{
  CHECK(ElectionPause(0.5, 0.5) == Millis(0));
  CHECK(ElectionPause(0.25, 0.5) > Millis(50));
  CHECK(ElectionPause(0.12, 0.5) > ElectionPause(0.25, 0.5));
  CHECK(ElectionPause(0.12, 0.12) == Millis(0));
}

TEST_CASE("a weak owner hands over, one that is nearly as strong does not")
{
  CHECK(IsTooWeak(0.12, 0.5));
  CHECK_FALSE(IsTooWeak(0.4, 0.5));
  CHECK_FALSE(IsTooWeak(0.5, 0.5));
  CHECK_FALSE(IsTooWeak(0.5, 0.12));
}

TEST_CASE("the record of an entry is read as it was written")
{
  const EntryRecord entry{ 0.125, "10.1.0.7:7320" };
  CHECK(ReadEntry(WriteEntry(entry)) == entry);
  // Nothing of it is taken for a strong entry.
  CHECK(ReadEntry("").cpuShare_ == 0);
}
