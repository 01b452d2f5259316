// The records with which entries find each other and the owners of cells.

#include <catch2/catch.hpp>

#include "records.h"

using namespace cuminbridge;

TEST_CASE("an entry record is decoded as it was encoded")
{
  const EntryRecord entry{ 0.125, "10.1.0.7:7320", 20 };
  CHECK(DecodeEntry(EncodeEntry(entry)) == entry);
  // An empty record must not pass for a strong entry, to which the others would
  // leave the fleet.
  CHECK(DecodeEntry("").cpuShare_ == 0);
  // Earlier versions stored no link.
  CHECK(DecodeEntry("0.25 10.1.0.7:7320").address_ == "10.1.0.7:7320");
}

TEST_CASE("the keys of cell 0 are those of a fleet without cells")
{
  const CellKeys first(0);
  CHECK(first.Owner() == "owner");
  CHECK(first.Of(kJobPrefix) == "in/job/");
  CHECK(first.Load() == "load");
  CHECK(first.Maintenance(7) == "upkeep/7");
  const CellKeys other(12);
  CHECK(other.Owner() == "owner/12");
  CHECK(other.Of(kJobPrefix) == "cell/12/in/job/");
  CHECK(other.Load() == "load/12");
  CHECK(other.Maintenance(7) == "upkeep/7/12");
  CHECK(CellOfOwnerKey("owner") == 0);
  CHECK(CellOfOwnerKey("owner/12") == 12);
  CHECK(!CellOfOwnerKey("owners"));
  CHECK(!CellOfOwnerKey("own"));
}

TEST_CASE("a refused connection does not show that an owner has ended")
{
  // The next owner did not wait for the leases that a live owner behind a
  // rejecting network went on renewing, and started its work twice.
  const auto owner = DecodeOwnerRecord("7 10.1.0.23:7000 1700");
  HttpReply reply;
  reply.outcome_ = CallOutcome::Refused;
  CHECK(ReadPreviousOwner(owner, reply) == PreviousOwner::Unknown);
  reply.outcome_ = CallOutcome::NotSent;
  CHECK(ReadPreviousOwner(owner, reply) == PreviousOwner::Unknown);
  reply.outcome_ = CallOutcome::Answered;
  reply.status_ = 200;
  reply.body_ = "7";
  CHECK(ReadPreviousOwner(owner, reply) == PreviousOwner::Unknown);
  reply.body_ = "0"; // its process has restarted, or stepped down
  CHECK(ReadPreviousOwner(owner, reply) == PreviousOwner::Ended);
  const auto handedOver =
    DecodeOwnerRecord("7 10.1.0.23:7000 1700 handed-over");
  CHECK(ReadPreviousOwner(handedOver, {}) == PreviousOwner::HandedOver);
  CHECK(ReadPreviousOwner({}, {}) == PreviousOwner::HandedOver);
}

TEST_CASE("only an entry's own answer shows that an owner has ended")
{
  // Something between the entries may answer in place of a live owner.
  const auto owner = DecodeOwnerRecord("7 10.1.0.23:7000 1700");
  HttpReply reply;
  reply.outcome_ = CallOutcome::Answered;
  reply.status_ = 503;
  CHECK(ReadPreviousOwner(owner, reply) == PreviousOwner::Unknown);
  reply.body_ = "0";
  CHECK(ReadPreviousOwner(owner, reply) == PreviousOwner::Unknown);
  reply.status_ = 200;
  for (const char* other : { "", "{}", "not found", "8 of 9", "-1" }) {
    INFO(other);
    reply.body_ = other;
    CHECK(ReadPreviousOwner(owner, reply) == PreviousOwner::Unknown);
  }
  reply.body_ = "8"; // it owns the cell anew
  CHECK(ReadPreviousOwner(owner, reply) == PreviousOwner::Ended);
}
