// The requests to evacuate data centres: lists, watches and bad input.

#include <catch2/catch.hpp>

#include "evacuation_requests.h"

using namespace cuminbridge;

namespace {

StoreItem
MakeRequest(const std::string& aName, const std::string& aValue = "{}")
{
  return { kEvacuationPrefix + aName, aValue, 1, 1, false };
}

StoreItem
MakeRemoval(const std::string& aName)
{
  return { kEvacuationPrefix + aName, "", 2, 1, true };
}

std::vector<DoubtfulRequest>
Apply(EvacuationRequests& aRequests,
      std::vector<StoreItem> aItems,
      bool aIsList = false)
{
  StoreReply reply;
  reply.status_ = StoreStatus::Done;
  reply.items_ = std::move(aItems);
  return aRequests.Apply(reply, aIsList);
}

using Names = std::set<std::string>;

} // namespace

TEST_CASE("a watch changes the evacuations, a list replaces them")
{
  EvacuationRequests requests({ "a", "b", "c" });
  CHECK(Apply(requests, { MakeRequest("a") }, true).empty());
  CHECK(Apply(requests, { MakeRequest("b"), MakeRequest("a") }).empty());
  CHECK(requests.DataCentres() == Names{ "a", "b" });
  CHECK(Apply(requests, { MakeRemoval("a") }).empty());
  CHECK(Apply(requests, {}).empty());
  CHECK(requests.DataCentres() == Names{ "b" });
  CHECK(Apply(requests, { MakeRequest("c") }, true).empty());
  CHECK(requests.DataCentres() == Names{ "c" });
}

TEST_CASE("a doubtful request holds and is reported once")
{
  EvacuationRequests requests({ "a" });
  CHECK(Apply(requests, { MakeRequest("nowhere") }).size() == 1);
  CHECK(Apply(requests, { MakeRequest("nowhere") }).empty());
  CHECK(Apply(requests, { MakeRequest("a", "\x01{") }).size() == 1);
  CHECK(Apply(requests, { MakeRequest("a", "[]") }, true).empty());
  CHECK(requests.DataCentres() == Names{ "a" });
  CHECK(Apply(requests, { MakeRequest("") }).size() == 1);
  CHECK(Apply(requests, { MakeRequest(std::string(1, '\n')) }).size() == 1);
  CHECK(requests.DataCentres() == Names{ "a" });

  EvacuationRequests unknown({});
  CHECK(Apply(unknown, { MakeRequest("anywhere") }).empty());
}

TEST_CASE("a request that is removed before it is read does not stay")
{
  EvacuationRequests requests({ "a" });
  CHECK(Apply(requests, { MakeRequest("a"), MakeRemoval("a") }).size() == 1);
  CHECK(requests.DataCentres().empty());
  CHECK(
    Apply(requests, { MakeRequest("a"), MakeRemoval("a"), MakeRequest("a") })
      .empty());
  CHECK(requests.DataCentres() == Names{ "a" });
  CHECK(Apply(requests, { MakeRemoval("a"), MakeRemoval("a") }).empty());
}
