#pragma once

#include <cstddef>
#include <http_parser.h>
#include <string>
#include <string_view>

#include "core/http/chunk_lines.h"
#include "core/http/head_lines.h"
#include "core/http/message.h"

namespace jacinth::http {

/// Progress of a MessageParser with its message.
enum class ParseState {
  kHead,
  kBody,
  kDone,
  /// The input is not an HTTP/1.1 message, or its framing is ambiguous.
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
};

/// Maximum number of header fields of a message, with those after its body.
inline constexpr std::size_t kMaxFields = 512;

/// Size limits of one message, in bytes.
struct ParseLimits {
  std::size_t head = 0;
  std::size_t body = 0;
};

/// Parses one HTTP/1.1 message from a byte stream.
///
/// Rejects ambiguous framing as malformed: repeated or invalid lengths, a
/// length together with a transfer encoding, and transfer encodings other than
/// `chunked`. Rejects heads with a CR that no LF follows or with control
/// characters, and chunks that are longer than their size. Rejects responses
/// whose head was cut off and continues with the head of another one, whose
/// status is invalid or 101, as no request asks for another protocol, and those
/// with folded lines. Trailer fields are checked like those of the head, which
/// they join.
class MessageParser {
 public:
  enum class Kind { kRequest, kResponse };

  MessageParser(Kind kind, ParseLimits limits);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// Parses input and returns how many of its bytes belong to this message.
  std::size_t Feed(std::string_view bytes);

  /// Handles the end of the stream, which completes a response without a
  /// length.
  void FeedEndOfStream();

  /// Must be called for the response to a HEAD request, which has no body.
  void ExpectNoBody() { expect_no_body_ = true; }

  ParseState state() const { return state_; }
  /// Returns why the message is malformed; empty if it isn't.
  std::string_view problem() const { return problem_; }
  /// True once any byte of the message was received.
  bool started() const { return started_; }
  /// True if the connection can carry another message after this one.
  bool keep_alive() const { return keep_alive_; }
  /// Status of a response, once its head is parsed.
  int status() const { return static_cast<int>(parser_.status_code); }
  /// True if a length or chunks delimit the body.
  bool is_framed() const { return framed_; }
  /// True if the head states the length of the body.
  bool has_length() const { return (parser_.flags & F_CONTENTLENGTH) != 0; }
  /// Memory that the message takes, in bytes; more than its bytes on the wire
  /// if it has many short fields.
  std::size_t buffered_bytes() const {
    return head_memory_ + (has_length() ? body_.size() : body_.capacity());
  }
  /// True if the sender waits for `100 Continue` before it sends the body.
  bool expects_continue() const;

  /// Moves the request out of the parser. Valid once state() is kDone.
  Request TakeRequest();
  /// Moves the response out of the parser. Valid once state() is kDone.
  Response TakeResponse();

 private:
  static MessageParser& FromHttpParser(http_parser* parser);
  static int OnStatus(http_parser* parser, const char* data, std::size_t size);
  static int OnUrl(http_parser* parser, const char* data, std::size_t size);
  static int OnFieldName(http_parser* parser,
                         const char* data,
                         std::size_t size);
  static int OnFieldValue(http_parser* parser,
                          const char* data,
                          std::size_t size);
  static int OnHeadComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, std::size_t size);
  static int OnMessageComplete(http_parser* parser);
  static const http_parser_settings& Callbacks();

  void Reject(std::string_view problem);
  std::string_view FindProblem() const;
  std::string_view FindRequestProblem() const;
  std::string_view FindResponseProblem() const;
  bool ChunksAreValid(std::string_view bytes);
  bool HasValidStatus() const;
  bool HasNoBody() const;
  int AppendToHead(std::string& text, const char* data, std::size_t size);

  http_parser parser_{};
  ParseLimits limits_;
  bool expect_no_body_ = false;
  bool started_ = false;
  bool keep_alive_ = false;
  bool framed_ = false;
  bool in_field_value_ = false;
  std::size_t head_bytes_ = 0;
  /// Number of fields before the body.
  std::size_t head_fields_ = 0;
  /// Estimate of the memory of the first line and the fields.
  std::size_t head_memory_ = 0;
  ParseState state_ = ParseState::kHead;
  /// A text that lives as long as the process.
  std::string_view problem_;
  HeadLines lines_{HeadLines::Section::kHead};
  ChunkLines chunk_lines_;
  std::string reason_;
  std::string target_;
  Headers headers_;
  std::string body_;
};

/// Decodes the target of `request` into its path and query. Returns false if
/// the target is not an absolute path or contains malformed escapes.
bool SplitTarget(Request& request);

}  // namespace jacinth::http
