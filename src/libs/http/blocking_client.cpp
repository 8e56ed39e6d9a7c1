#include "http/blocking_client.h"

#include "http/curl_exchange.h"

namespace endiverail {
namespace {

std::size_t append(char *Data, std::size_t Size, std::size_t Count,
                   void *Body) {
  static_cast<std::string *>(Body)->append(Data, Size * Count);
  return Size * Count;
}

std::size_t readHeader(char *Data, std::size_t Size, std::size_t Count,
                       void *Exchange) {
  auto &Reading = *static_cast<detail::curl_exchange *>(Exchange);
  return handleFailure(
      [&]() -> result<std::size_t> {
        BOOST_LEAF_CHECK(Reading.readHeaderLine({Data, Size * Count}));
        return Size * Count;
      },
      [&](const failure &Failure) {
        Reading.abortWith(Failure.Kind);
        return std::size_t{0};
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
  detail::curl_exchange Exchange(Request);
  CURL *Easy = Exchange.handle();
  fetched_answer Answer;
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &readHeader);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &Exchange);
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &append);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Answer.Body);
  attempt_end End = Exchange.end(curl_easy_perform(Easy));
  if (End.Failure)
    return fail(End.Failure->Kind, std::string(Server) + ": " + End.Detail);
  long Status = 0;
  curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
  Answer.Status = static_cast<int>(Status);
  return Answer;
}

} // namespace endiverail
