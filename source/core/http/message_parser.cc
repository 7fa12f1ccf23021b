#include "core/http/message_parser.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "core/http/status.h"

namespace jacinth::http {
namespace {

/// Return values of the callbacks of http_parser.
constexpr int kSkipBody = 1;
constexpr int kContinueParsing = 0;
constexpr int kAbort = -1;

/// Bodies from this size on are given the memory of their stated length at
/// once. Smaller ones may end early.
constexpr std::size_t kReservedBodyBytes = 64UL << 10U;
/// Growing strings and vectors hold up to twice what they need.
constexpr std::size_t kGrowthFactor = 2;

/// Messages of all its minor versions are read alike (RFC 9112, 2.3).
constexpr int kMajorVersion = 1;

constexpr int kHexBase = 16;
constexpr std::size_t kEscapeDigits = 2;

std::size_t CountFields(const Headers& headers, std::string_view name) {
  return static_cast<std::size_t>(
      std::count_if(headers.begin(), headers.end(), [&](const auto& field) {
        return EqualsIgnoringCase(field.first, name);
      }));
}

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out.push_back(text[i]);
      continue;
    }
    int value = 0;
    const char* digits = text.data() + i + 1;
    if (text.size() - i <= kEscapeDigits)
      return std::nullopt;
    const auto [parsed_end, error] =
        std::from_chars(digits, digits + kEscapeDigits, value, kHexBase);
    if (error != std::errc() || parsed_end != digits + kEscapeDigits)
      return std::nullopt;
    out.push_back(static_cast<char>(value));
    i += kEscapeDigits;
  }
  return out;
}

void AddQueryField(std::string_view field, Request& request) {
  const std::size_t equals = field.find('=');
  const auto name = PercentDecode(field.substr(0, equals));
  const auto value = equals == std::string_view::npos
                         ? std::string()
                         : PercentDecode(field.substr(equals + 1));
  if (name && value && !name->empty())
    request.query.emplace(*name, *value);
}

}  // namespace

MessageParser::MessageParser(Kind kind, ParseLimits limits) : limits_(limits) {
  http_parser_init(&parser_,
                   kind == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
}

std::size_t MessageParser::Feed(std::string_view bytes) {
  const bool finished =
      state_ != ParseState::kHead && state_ != ParseState::kBody;
  if (finished || bytes.empty())
    return 0;
  started_ = true;
  const bool was_in_head = state_ == ParseState::kHead;
  std::size_t body_start = 0;
  // http_parser takes any byte after the CR of the last line for its LF, and
  // accepts control characters in the reason phrase and at the start of a
  // value.
  if (was_in_head) {
    const auto head_size = lines_.Feed(bytes);
    if (!head_size) {
      Reject("its head contains a control character or a CR without LF");
      return 0;
    }
    body_start = *head_size;
  }
  const std::size_t consumed =
      http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
  if (was_in_head)
    head_bytes_ += state_ == ParseState::kHead ? bytes.size() : 0;
  if (state_ == ParseState::kHead && head_bytes_ > limits_.head)
    state_ = ParseState::kHeadTooLarge;
  const bool failed = HTTP_PARSER_ERRNO(&parser_) != HPE_OK &&
                      HTTP_PARSER_ERRNO(&parser_) != HPE_PAUSED;
  if (failed && (state_ == ParseState::kHead || state_ == ParseState::kBody)) {
    if (HTTP_PARSER_ERRNO(&parser_) == HPE_HEADER_OVERFLOW)
      state_ = ParseState::kHeadTooLarge;
    else
      Reject(http_errno_description(HTTP_PARSER_ERRNO(&parser_)));
  }
  const bool has_body =
      state_ == ParseState::kBody || state_ == ParseState::kDone;
  if (has_body && consumed > body_start &&
      !ChunksAreValid(bytes.substr(body_start, consumed - body_start)))
    Reject("a chunk or trailer line is malformed");
  return consumed;
}

void MessageParser::Reject(std::string_view problem) {
  state_ = ParseState::kMalformed;
  problem_ = problem;
}

// http_parser takes any bytes after a chunk's data and after the CR of its size
// or of the last line for their line ends.
bool MessageParser::ChunksAreValid(std::string_view bytes) {
  if ((parser_.flags & F_CHUNKED) == 0)
    return true;
  const bool may_fold = parser_.type == HTTP_REQUEST;
  return chunk_lines_.Feed(bytes) &&
         (may_fold || !chunk_lines_.has_folded_line());
}

void MessageParser::FeedEndOfStream() {
  if (state_ != ParseState::kBody || framed_)
    return;
  http_parser_execute(&parser_, &Callbacks(), "", 0);
}

bool MessageParser::expects_continue() const {
  return EqualsIgnoringCase(HeaderValue(headers_, "Expect"), "100-continue");
}

Request MessageParser::TakeRequest() {
  Request request;
  request.method = http_method_str(static_cast<http_method>(parser_.method));
  request.target = std::move(target_);
  request.headers = std::move(headers_);
  request.body = std::move(body_);
  return request;
}

Response MessageParser::TakeResponse() {
  Response response;
  response.status = static_cast<int>(parser_.status_code);
  for (auto& [name, value] : headers_) {
    if (EqualsIgnoringCase(name, "Content-Type"))
      response.content_type = std::move(value);
    else
      response.headers.emplace_back(std::move(name), std::move(value));
  }
  response.body = std::move(body_);
  return response;
}

MessageParser& MessageParser::FromHttpParser(http_parser* parser) {
  return *static_cast<MessageParser*>(parser->data);
}

int MessageParser::OnStatus(http_parser* parser,
                            const char* data,
                            std::size_t size) {
  MessageParser& self = FromHttpParser(parser);
  return self.AppendToHead(self.reason_, data, size);
}

int MessageParser::OnUrl(http_parser* parser,
                         const char* data,
                         std::size_t size) {
  MessageParser& self = FromHttpParser(parser);
  return self.AppendToHead(self.target_, data, size);
}

int MessageParser::OnFieldName(http_parser* parser,
                               const char* data,
                               std::size_t size) {
  MessageParser& self = FromHttpParser(parser);
  if (self.headers_.empty() || self.in_field_value_) {
    if (self.headers_.size() == kMaxFields) {
      self.state_ = ParseState::kHeadTooLarge;
      return kAbort;
    }
    self.headers_.emplace_back();
    self.head_memory_ += kGrowthFactor * sizeof(Headers::value_type);
  }
  self.in_field_value_ = false;
  return self.AppendToHead(self.headers_.back().first, data, size);
}

int MessageParser::OnFieldValue(http_parser* parser,
                                const char* data,
                                std::size_t size) {
  MessageParser& self = FromHttpParser(parser);
  self.in_field_value_ = true;
  return self.AppendToHead(self.headers_.back().second, data, size);
}

int MessageParser::OnHeadComplete(http_parser* parser) {
  MessageParser& self = FromHttpParser(parser);
  if (const auto problem = self.FindProblem(); !problem.empty()) {
    self.Reject(problem);
    return kAbort;
  }
  // Each field adds ": " and CRLF.
  std::size_t head = self.target_.size();
  for (const auto& [name, value] : self.headers_)
    head += name.size() + value.size() + 4;
  if (head > self.limits_.head) {
    self.state_ = ParseState::kHeadTooLarge;
    return kAbort;
  }
  self.head_fields_ = self.headers_.size();
  self.framed_ = (parser->flags & (F_CHUNKED | F_CONTENTLENGTH)) != 0;
  const bool too_large = (parser->flags & F_CONTENTLENGTH) != 0 &&
                         parser->content_length > self.limits_.body;
  const bool has_no_body = self.HasNoBody();
  if (too_large && !has_no_body) {
    self.state_ = ParseState::kBodyTooLarge;
    return kAbort;
  }
  self.state_ = ParseState::kBody;
  return has_no_body ? kSkipBody : kContinueParsing;
}

int MessageParser::OnBody(http_parser* parser,
                          const char* data,
                          std::size_t size) {
  MessageParser& self = FromHttpParser(parser);
  if (self.body_.size() + size > self.limits_.body) {
    self.state_ = ParseState::kBodyTooLarge;
    return kAbort;
  }
  const bool grows_large = self.body_.size() < kReservedBodyBytes &&
                           self.body_.size() + size >= kReservedBodyBytes;
  if (grows_large && self.has_length())
    self.body_.reserve(self.body_.size() + size + parser->content_length);
  self.body_.append(data, size);
  return kContinueParsing;
}

int MessageParser::OnMessageComplete(http_parser* parser) {
  MessageParser& self = FromHttpParser(parser);
  if (self.state_ != ParseState::kBody)
    return kAbort;
  const bool has_trailers = self.headers_.size() > self.head_fields_;
  const auto problem = has_trailers ? self.FindProblem() : "";
  if (!problem.empty()) {
    self.Reject(problem);
    return kAbort;
  }
  self.state_ = ParseState::kDone;
  self.keep_alive_ = http_should_keep_alive(parser) != 0;
  // Stops parsing here: bytes after the message belong to the next one.
  http_parser_pause(parser, 1);
  return kContinueParsing;
}

const http_parser_settings& MessageParser::Callbacks() {
  static const http_parser_settings kCallbacks = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_status = OnStatus;
    settings.on_url = OnUrl;
    settings.on_header_field = OnFieldName;
    settings.on_header_value = OnFieldValue;
    settings.on_headers_complete = OnHeadComplete;
    settings.on_body = OnBody;
    settings.on_message_complete = OnMessageComplete;
    return settings;
  }();
  return kCallbacks;
}

int MessageParser::AppendToHead(std::string& text,
                                const char* data,
                                std::size_t size) {
  text.append(data, size);
  head_memory_ += kGrowthFactor * size;
  return kContinueParsing;
}

// Returns what is wrong with the head, with the trailer fields that have joined
// it; empty if nothing is.
std::string_view MessageParser::FindProblem() const {
  // http_parser accepts spaces in field names, which other implementations
  // interpret differently.
  const bool names_valid =
      std::all_of(headers_.begin(), headers_.end(),
                  [](const auto& field) { return IsToken(field.first); });
  if (!names_valid)
    return "a field name is not a token";
  const std::size_t length_fields = CountFields(headers_, "Content-Length");
  const std::size_t encoding_fields =
      CountFields(headers_, "Transfer-Encoding");
  if (length_fields + encoding_fields > 1)
    return "it has several lengths or transfer codings";
  if (encoding_fields == 1 &&
      !EqualsIgnoringCase(HeaderValue(headers_, "Transfer-Encoding"),
                          "chunked"))
    return "its transfer coding is not chunked";
  return parser_.type == HTTP_RESPONSE ? FindResponseProblem()
                                       : FindRequestProblem();
}

std::string_view MessageParser::FindRequestProblem() const {
  if (target_.empty() || target_.front() != '/')
    return "its target is not an absolute path";
  return CountFields(headers_, "Host") == 1
             ? ""
             : "it does not have exactly one Host field";
}

std::string_view MessageParser::FindResponseProblem() const {
  if (parser_.http_major != kMajorVersion)
    return "its version is not HTTP/1";
  if (!HasValidStatus())
    return "its status is invalid";
  if (lines_.has_folded_line())
    return "a field line is folded";
  const bool has_status_line =
      ContainsStatusLine(reason_) ||
      std::any_of(headers_.begin(), headers_.end(), [](const auto& field) {
        return ContainsStatusLine(field.second);
      });
  return has_status_line ? "its head contains another status line" : "";
}

// Returns true if the message ends with its head, whatever length it states
// (RFC 9112, 6.3).
bool MessageParser::HasNoBody() const {
  return expect_no_body_ ||
         (parser_.type == HTTP_RESPONSE &&
          (status() < kStatusOk || status() == kStatusNoContent ||
           status() == kStatusNotModified));
}

// http_parser accepts any status up to 999, and leading zeros.
bool MessageParser::HasValidStatus() const {
  return HasThreeDigitStatus(lines_.first_line()) &&
         status() >= kStatusFirstInterim && status() < kStatusEnd &&
         status() != kStatusSwitchingProtocols;
}

bool SplitTarget(Request& request) {
  const std::string_view target = request.target;
  const std::size_t query_mark = target.find('?');
  const auto path = PercentDecode(target.substr(0, query_mark));
  if (!path || path->empty() || path->front() != '/')
    return false;
  request.path = *path;
  std::string_view rest =
      query_mark == std::string_view::npos ? "" : target.substr(query_mark + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    AddQueryField(rest.substr(0, end), request);
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return true;
}

}  // namespace jacinth::http
