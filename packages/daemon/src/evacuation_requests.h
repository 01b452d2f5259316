// Internal: the requests of the operator to evacuate data centres, as lists and
// watches of the store report them.

#ifndef cuminbridge_daemon_evacuation_requests_h
#define cuminbridge_daemon_evacuation_requests_h

#include "cuminbridge/adapter.h"

namespace cuminbridge {

// A request that is not as expected, for the log.
struct DoubtfulRequest
{
  std::string key_;
  std::string why_;

  bool operator==(const DoubtfulRequest&) const = default;
};

class EvacuationRequests
{
public:
  // aKnown are the data centres of the system; empty if they are not known.
  explicit EvacuationRequests(std::set<std::string> aKnown)
    : known_(std::move(aKnown))
  {
  }

  // Applies a list of all requests, or the changes that a watch has reported.
  // Returns what is doubtful, each once. A doubtful request holds all the same:
  // nothing starts in a data centre that its operator may mean.
  std::vector<DoubtfulRequest> Apply(const StoreReply& aReply, bool aIsList);

  const std::set<std::string>& DataCentres() const { return asked_; }

private:
  void Add(const StoreItem& aItem, std::vector<DoubtfulRequest>& aDoubtful);
  void Note(const std::string& aKey,
            std::string aWhy,
            std::vector<DoubtfulRequest>& aDoubtful);

  std::set<std::string> known_;
  std::set<std::string> asked_;
  std::set<std::string> noted_; // keys, each with the reason
};

} // namespace cuminbridge

#endif // cuminbridge_daemon_evacuation_requests_h
