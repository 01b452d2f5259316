// What an owner makes of the store's answers.

#include <catch2/catch.hpp>

#include "owner.h"

using namespace cuminbridge;

TEST_CASE("a watch that hears nothing goes on from what it heard last")
{
  // store-in-trouble, crue: cancellations were passed over.
  StoreReply reply;
  reply.status_ = StoreStatus::Done;
  reply.revision_ = 900; // the store went on without telling
  CHECK(NextWatchRevision(500, reply, false) == 500);
  reply.items_.push_back({ "in/job/a", "", 620, 620, false });
  reply.items_.push_back({ "in/job/b", "", 640, 640, false });
  CHECK(NextWatchRevision(500, reply, false) == 640);
}

TEST_CASE("a list holds all up to the store's revision")
{
  StoreReply reply;
  reply.status_ = StoreStatus::Done;
  reply.revision_ = 900;
  CHECK(NextWatchRevision(500, reply, true) == 900);
}

TEST_CASE("what is said of the last owner")
{
  const auto owner = ReadLastOwner("7 10.1.0.23:7000 handed-over");
  CHECK(owner.term_ == 7);
  CHECK(owner.address_ == "10.1.0.23:7000");
  CHECK(owner.hasHandedOver_);
  CHECK(WriteLastOwner(owner) == "7 10.1.0.23:7000 handed-over");
  CHECK(!ReadLastOwner("7 10.1.0.23:7000").hasHandedOver_);
  CHECK(ReadLastOwner("").address_.empty());
}
