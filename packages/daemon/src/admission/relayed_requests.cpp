// Answers requests that peers have relayed, as they do not reach the store.

#include "caller_api.h"

namespace cuminbridge {

Awaitable<HttpResponse>
CallerApi::AnswerRelayed(std::string aText)
{
  const auto relayed = DecodeRelayed(aText);
  Outcome outcome;
  if (relayed && (relayed->configVersion_ == 0 ||
                  relayed->configVersion_ == config_.version_)) {
    outcome = co_await AnswerFromStore(relayed->request_);
  }
  co_return EncodeRelayAnswer(outcome);
}

} // namespace cuminbridge
