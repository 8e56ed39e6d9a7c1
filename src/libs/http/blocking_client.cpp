#include "http/blocking_client.h"

#include "http/curl_exchange.h"

#include <utility>

namespace endiverail {
namespace {

struct fetch_in_progress {
  detail::curl_exchange Exchange;
  std::string Body;

  std::size_t resultOf(auto &&Take) {
    return handleFailure(std::forward<decltype(Take)>(Take),
                         [&](const failure &Failure) {
                           Exchange.abortWith(Failure.Kind);
                           return std::size_t{0};
                         });
  }
};

std::size_t readBody(char *Data, std::size_t Size, std::size_t Count,
                     void *Self) {
  auto &Fetch = *static_cast<fetch_in_progress *>(Self);
  return Fetch.resultOf([&]() -> result<std::size_t> {
    BOOST_LEAF_CHECK(Fetch.Exchange.noteBody());
    Fetch.Body.append(Data, Size * Count);
    Fetch.Exchange.noteTaken(Size * Count);
    return Size * Count;
  });
}

std::size_t readHeader(char *Data, std::size_t Size, std::size_t Count,
                       void *Self) {
  auto &Fetch = *static_cast<fetch_in_progress *>(Self);
  return Fetch.resultOf([&]() -> result<std::size_t> {
    BOOST_LEAF_CHECK(Fetch.Exchange.readHeaderLine({Data, Size * Count}));
    return Size * Count;
  });
}

} // namespace

result<fetched_answer> fetch(std::string_view Method, std::string_view Server,
                             std::string_view Target, std::string_view Body,
                             milliseconds Timeout) {
  detail::initialiseCurl();
  attempt_request Request;
  Request.Server = Server;
  Request.Method = Method;
  Request.Target = Target;
  Request.Body = Body;
  Request.Timeout = Timeout;
  fetch_in_progress Fetch{detail::curl_exchange(Request), {}};
  CURL *Easy = Fetch.Exchange.handle();
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &readHeader);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &Fetch);
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &readBody);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Fetch);
  attempt_end End = Fetch.Exchange.end(curl_easy_perform(Easy));
  if (End.Failure)
    return fail(End.Failure->Kind, std::string(Server) + ": " + End.Detail);
  long Status = 0;
  curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
  return fetched_answer{static_cast<int>(Status), std::move(Fetch.Body)};
}

} // namespace endiverail
