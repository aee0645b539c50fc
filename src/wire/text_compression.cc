#include "wire/text_compression.h"

#include <zstd.h>

#include <memory>

namespace flamingoyoke {
namespace {

struct ContextDeleter {
  auto operator()(ZSTD_CCtx* context) const -> void { ZSTD_freeCCtx(context); }
  auto operator()(ZSTD_DCtx* context) const -> void { ZSTD_freeDCtx(context); }
};

}  // namespace

auto CompressText(std::string_view text, std::string_view base)
    -> Result<std::string> {
  const std::unique_ptr<ZSTD_CCtx, ContextDeleter> context(ZSTD_createCCtx());
  if (context == nullptr) {
    return Fail(ErrorKind::kResourceRefused, "no memory to compress a table");
  }
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  std::string bytes(ZSTD_compressBound(text.size()), '\0');
  const auto size = ZSTD_compress2(context.get(), bytes.data(), bytes.size(),
                                   text.data(), text.size());
  if (ZSTD_isError(size) != 0) {
    return Fail(
        ErrorKind::kResourceRefused,
        std::string("table cannot be compressed: ") + ZSTD_getErrorName(size));
  }
  bytes.resize(size);
  bytes.shrink_to_fit();
  return bytes;
}

auto ExpandText(std::string_view bytes,
                std::string_view base,
                std::size_t max_size) -> Result<std::string> {
  const auto text_size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
  // The values for an unknown size and for damaged bytes are larger than any
  // bound.
  if (text_size > max_size) {
    return Fail(ErrorKind::kMalformedMessage,
                "compressed table is damaged or exceeds the limit of " +
                    std::to_string(max_size) + " bytes");
  }
  const std::unique_ptr<ZSTD_DCtx, ContextDeleter> context(ZSTD_createDCtx());
  if (context == nullptr) {
    return Fail(ErrorKind::kResourceRefused, "no memory to expand a table");
  }
  ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  std::string text(text_size, '\0');
  const auto size = ZSTD_decompressDCtx(context.get(), text.data(), text.size(),
                                        bytes.data(), bytes.size());
  if (ZSTD_isError(size) != 0 || size != text.size()) {
    return Fail(ErrorKind::kMalformedMessage,
                "compressed table is damaged or has another base");
  }
  return text;
}

}  // namespace flamingoyoke
