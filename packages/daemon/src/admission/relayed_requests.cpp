// Answers requests that peers have relayed, as they do not reach the store.

#include "caller_api.h"

namespace cuminbridge {

bool
CallerApi::IsConfigOutdated() const
{
  return config_.version_ < relay_.NewestConfig();
}

Awaitable<HttpResponse>
CallerApi::AnswerRelayed(std::string aText)
{
  const auto relayed = DecodeRelayed(aText);
  Outcome outcome;
  if (relayed && relayed->configVersion_ <= config_.version_ &&
      !IsConfigOutdated()) {
    outcome = co_await AnswerFromStore(relayed->request_);
  }
  co_return EncodeRelayAnswer(outcome, config_.version_);
}

} // namespace cuminbridge
