// Answers requests that peers have relayed, as they do not reach the store.

#include "caller_api.h"

namespace cuminbridge {

Awaitable<HttpResponse>
CallerApi::AnswerRelayed(std::string aText)
{
  const auto request = DecodeRelayed(aText);
  Outcome outcome;
  if (request) {
    outcome = co_await AnswerFromStore(*request);
  }
  co_return EncodeRelayAnswer(outcome);
}

} // namespace cuminbridge
