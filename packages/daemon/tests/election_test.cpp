// Which entry becomes owner of the fleet. Large fleets have a few entries with
// half a core and many with an eighth; an owner with an eighth falls behind.

#include <catch2/catch.hpp>

#include "election.h"
#include "records.h"

using namespace cuminbridge;

TEST_CASE(
  "the strongest entry takes a free fleet first, weaker ones wait longer")
{
  CHECK(ElectionDelay(0.5, 0.5) == Millis(0));
  CHECK(ElectionDelay(0.25, 0.5) > Millis(50));
  CHECK(ElectionDelay(0.12, 0.5) > ElectionDelay(0.25, 0.5));
  CHECK(ElectionDelay(0.12, 0.12) == Millis(0));
}

TEST_CASE("an owner yields only to an entry that is far stronger")
{
  CHECK(ShouldYield(0.12, 0.5));
  CHECK_FALSE(ShouldYield(0.4, 0.5));
  CHECK_FALSE(ShouldYield(0.5, 0.5));
  CHECK_FALSE(ShouldYield(0.5, 0.12));
}

TEST_CASE("an entry record is decoded as it was encoded")
{
  const EntryRecord entry{ 0.125, "10.1.0.7:7320" };
  CHECK(DecodeEntry(EncodeEntry(entry)) == entry);
  // An empty record must not pass for a strong entry, to which the others would
  // leave the fleet.
  CHECK(DecodeEntry("").cpuShare_ == 0);
}
