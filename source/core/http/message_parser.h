#pragma once

#include <cstddef>
#include <http_parser.h>
#include <string>
#include <string_view>

#include "core/http/message.h"

namespace jacinth::http {

/// How far the parser has come with its message.
enum class ParseState {
  kHead,
  kBody,
  kDone,
  /// The bytes are no HTTP/1.1 message, or its framing is ambiguous.
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
};

/// Bounds of one message, in bytes.
struct ParseLimits {
  std::size_t head = 0;
  std::size_t body = 0;
};

/// Reads one HTTP/1.1 message from a byte stream.
///
/// Framing is strict: repeated or malformed lengths, a length beside a transfer
/// encoding, and transfer encodings other than `chunked` are malformed.
class MessageParser {
 public:
  enum class Kind { kRequest, kResponse };

  MessageParser(Kind kind, ParseLimits limits);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// Takes bytes; returns how many belong to this message.
  std::size_t Feed(std::string_view bytes);

  /// The stream has ended, which completes an answer without a length.
  void FeedEnd();

  /// The answer is to a HEAD request and so has no body.
  void ExpectNoBody() { no_body_ = true; }

  ParseState state() const { return state_; }
  /// True once any byte of the message has come.
  bool started() const { return started_; }
  /// True if the connection may carry another message after this one.
  bool keep_alive() const { return keep_alive_; }
  /// Status of an answer, once its head is read.
  int status() const { return static_cast<int>(parser_.status_code); }
  /// True if the end of the body is told by a length or chunks.
  bool is_framed() const { return framed_; }
  /// True if the sender waits for `100 Continue` before the body.
  bool expects_continue() const;

  /// The message, once state() is kDone.
  Request TakeRequest();
  Response TakeResponse();

 private:
  static MessageParser& Of(http_parser* parser);
  static int OnUrl(http_parser* parser, const char* data, std::size_t size);
  static int OnField(http_parser* parser, const char* data, std::size_t size);
  static int OnValue(http_parser* parser, const char* data, std::size_t size);
  static int OnHeadDone(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, std::size_t size);
  static int OnDone(http_parser* parser);
  static const http_parser_settings& Callbacks();

  bool HeadIsValid() const;

  http_parser parser_{};
  ParseLimits limits_;
  bool no_body_ = false;
  bool started_ = false;
  bool keep_alive_ = false;
  bool framed_ = false;
  bool in_value_ = false;
  std::size_t head_bytes_ = 0;
  ParseState state_ = ParseState::kHead;
  std::string target_;
  Headers headers_;
  std::string body_;
};

/// Splits a request target into the decoded path and query of `request`; false
/// if it is not an absolute path or holds malformed escapes.
bool SplitTarget(Request& request);

}  // namespace jacinth::http
