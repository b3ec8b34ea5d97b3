// Finds what two texts have in common by a rolling hash of fixed blocks, as
// rsync does, and compresses the rest by zlib.
#include "zinniagauge/store/text_patch.h"

#include <xxhash.h>
#include <zlib.h>

#include <algorithm>
#include <bit>
#include <cstdint>
#include <new>
#include <optional>
#include <vector>

namespace zinniagauge {

namespace {

/// Shorter common parts aren't found.
constexpr std::size_t BlockBytes = 32;

/// The bytes of an encoded number.
constexpr std::size_t MaxLengthBytes = 10;

/// A patch is this header and a zlib stream of steps. A step is three numbers
/// and a text: the offset and length of a part of the former text to copy, the
/// length of the text, and the text itself, which follows the copied part.
struct PatchHeader {
  std::uint64_t ResultHash = 0; // XXH3, of the resulting text.
  std::uint64_t ResultBytes = 0;
  std::uint64_t StepBytes = 0; // Of the steps, before compression.
};

/// A hash of BlockBytes characters that can be moved along by one.
struct RollingHash {
  static constexpr std::uint64_t Base = 0x9E3779B97F4A7C15;
  std::uint64_t Value = 0;

  static constexpr std::uint64_t leadingFactor() noexcept {
    std::uint64_t out = 1;
    for (std::size_t n = 1; n < BlockBytes; ++n)
      out *= Base;
    return out;
  }

  explicit RollingHash(std::string_view block) noexcept {
    for (const char c : block)
      Value = Value * Base + static_cast<unsigned char>(c);
  }

  void roll(char out, char in) noexcept {
    Value -= static_cast<unsigned char>(out) * leadingFactor();
    Value = Value * Base + static_cast<unsigned char>(in);
  }
};

/// The offsets of a text's blocks by their hashes. Of blocks with the same
/// slot it knows one.
class BlockIndex {
public:
  explicit BlockIndex(std::string_view text)
      : Text(text),
        Slots(std::bit_ceil(2 * (text.size() / BlockBytes) + 1), NoBlock) {
    // From the end, so that of equal blocks the first one is kept.
    for (std::size_t n = text.size() / BlockBytes; n-- > 0;)
      Slots[slotOf(RollingHash(text.substr(n * BlockBytes, BlockBytes)))] = n;
  }

  /// The offset of a block that equals \p block, whose hash is \p hash.
  [[nodiscard]] std::optional<std::size_t> find(std::string_view block,
                                                RollingHash hash) const {
    const std::size_t n = Slots[slotOf(hash)];
    if (n == NoBlock || Text.substr(n * BlockBytes, BlockBytes) != block)
      return std::nullopt;
    return n * BlockBytes;
  }

private:
  static constexpr std::size_t NoBlock = ~std::size_t{0};

  [[nodiscard]] std::size_t slotOf(RollingHash hash) const noexcept {
    constexpr unsigned HighBits = 32;
    return ((hash.Value >> HighBits) ^ hash.Value) & (Slots.size() - 1);
  }

  std::string_view Text;
  std::vector<std::size_t> Slots;
};

/// Appends \p num in groups of seven bits, the lowest ones first.
void appendNumber(std::string &out, std::uint64_t num) {
  constexpr unsigned GroupBits = 7;
  constexpr unsigned char More = 0x80;
  for (; num >= More; num >>= GroupBits)
    out.push_back(static_cast<char>(num | More));
  out.push_back(static_cast<char>(num));
}

/// The inverse of appendNumber: takes a number from the start of \p in.
std::optional<std::uint64_t> takeNumber(std::string_view &in) {
  constexpr unsigned GroupBits = 7;
  constexpr unsigned char More = 0x80;
  std::uint64_t num = 0;
  for (std::size_t n = 0; n < std::min(in.size(), MaxLengthBytes); ++n) {
    const auto c = static_cast<unsigned char>(in[n]);
    num |= std::uint64_t{c & (More - 1U)} << (GroupBits * n);
    if (c < More) {
      in.remove_prefix(n + 1);
      return num;
    }
  }
  return std::nullopt;
}

/// A part that two texts have in common.
struct CommonPart {
  std::size_t Before = 0; // Offset in the former text.
  std::size_t After = 0;  // Offset in the later one.
  std::size_t Bytes = 0;
};

/// Extends \p part in both directions, but to no offset of \p after below
/// \p from.
CommonPart extended(CommonPart part, std::string_view before,
                    std::string_view after, std::size_t from) {
  while (part.After > from && part.Before > 0 &&
         before[part.Before - 1] == after[part.After - 1]) {
    --part.Before;
    --part.After;
    ++part.Bytes;
  }
  while (part.Before + part.Bytes < before.size() &&
         part.After + part.Bytes < after.size() &&
         before[part.Before + part.Bytes] == after[part.After + part.Bytes])
    ++part.Bytes;
  return part;
}

/// The next part of \p after, from \p from on, that \p before has too. None has
/// no bytes and is at the end of \p after.
CommonPart nextCommonPart(const BlockIndex &index, std::string_view before,
                          std::string_view after, std::size_t from) {
  if (after.size() >= from + BlockBytes) {
    RollingHash hash(after.substr(from, BlockBytes));
    for (std::size_t at = from;; ++at) {
      const auto found = index.find(after.substr(at, BlockBytes), hash);
      if (found)
        return extended({*found, at, BlockBytes}, before, after, from);
      if (at + BlockBytes >= after.size())
        break;
      hash.roll(after[at], after[at + BlockBytes]);
    }
  }
  return {0, after.size(), 0};
}

std::string makeSteps(std::string_view before, std::string_view after) {
  const BlockIndex index(before);
  std::string out;
  CommonPart copied;
  while (copied.After + copied.Bytes < after.size() || copied.Bytes > 0) {
    const std::size_t from = copied.After + copied.Bytes;
    const CommonPart next = nextCommonPart(index, before, after, from);
    const std::string_view text = after.substr(from, next.After - from);
    appendNumber(out, copied.Before);
    appendNumber(out, copied.Bytes);
    appendNumber(out, text.size());
    out.append(text);
    copied = next;
  }
  return out;
}

std::optional<std::string>
applySteps(std::string_view before, std::string_view steps, std::size_t bytes) {
  std::string out;
  out.reserve(bytes);
  while (!steps.empty()) {
    const auto offset = takeNumber(steps);
    const auto length = takeNumber(steps);
    const auto textbytes = takeNumber(steps);
    if (!offset || !length || !textbytes || *offset > before.size() ||
        *length > before.size() - *offset || *textbytes > steps.size() ||
        *length + *textbytes > bytes - out.size())
      return std::nullopt;
    out.append(before.substr(*offset, *length));
    out.append(steps.substr(0, *textbytes));
    steps.remove_prefix(*textbytes);
  }
  return out;
}

std::string deflated(std::string_view text) {
  uLongf size = ::compressBound(text.size());
  std::string out(size, '\0');
  // It fails only without memory.
  if (::compress2(reinterpret_cast<Bytef *>(out.data()), &size,
                  reinterpret_cast<const Bytef *>(text.data()), text.size(),
                  Z_BEST_SPEED) != Z_OK)
    throw std::bad_alloc();
  out.resize(size);
  return out;
}

std::optional<std::string> inflated(std::string_view raw, std::size_t bytes) {
  std::string out(bytes, '\0');
  uLongf size = bytes;
  if (::uncompress(reinterpret_cast<Bytef *>(out.data()), &size,
                   reinterpret_cast<const Bytef *>(raw.data()),
                   raw.size()) != Z_OK ||
      size != bytes)
    return std::nullopt;
  return out;
}

std::uint64_t hashOf(std::string_view text) noexcept {
  return XXH3_64bits(text.data(), text.size());
}

auto damaged(std::string why) {
  return fail({ErrorCode::Invalid, Step::Bundle, "patch", std::move(why)});
}

} // namespace

std::string makePatch(std::string_view before, std::string_view after) {
  const std::string steps = makeSteps(before, after);
  const PatchHeader header{hashOf(after), after.size(), steps.size()};
  std::string out;
  for (const std::uint64_t num :
       {header.ResultHash, header.ResultBytes, header.StepBytes})
    appendNumber(out, num);
  return out + deflated(steps);
}

Result<std::string> applyPatch(std::string_view before, std::string_view patch,
                               std::size_t maxbytes) {
  const auto hash = takeNumber(patch);
  const auto bytes = takeNumber(patch);
  const auto stepbytes = takeNumber(patch);
  // Steps are at most the text and a few numbers for each common part.
  if (!hash || !bytes || !stepbytes || *bytes > maxbytes ||
      *stepbytes > 2 * *bytes + 3 * MaxLengthBytes)
    return damaged("too long or cut off");
  const auto steps = inflated(patch, *stepbytes);
  if (!steps)
    return damaged("can't be decompressed");
  std::string out = applySteps(before, *steps, *bytes).value_or("");
  if (out.size() != *bytes || hashOf(out) != *hash)
    return damaged("doesn't fit the text before");
  return out;
}

} // namespace zinniagauge
