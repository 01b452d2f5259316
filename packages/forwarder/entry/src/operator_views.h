// Internal: the JSON documents that operators read.

#ifndef cuminbridge_entry_operator_views_h
#define cuminbridge_entry_operator_views_h

#include <nlohmann/json.hpp>

#include "cuminbridge/core.h"

namespace cuminbridge::forwarder {

nlohmann::json ShowFiling(const AnswerFiling& aAnswer);
nlohmann::json ShowInForce(const Entry& aEntry, TimePoint aNow);
nlohmann::json ShowPools(const Entry& aEntry, TimePoint aNow);
nlohmann::json ShowAccounts(const Entry& aEntry, TimePoint aNow);
nlohmann::json ShowWaves(const Entry& aEntry, TimePoint aNow);
nlohmann::json ShowReadiness(const Entry& aEntry, TimePoint aNow);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_entry_operator_views_h
