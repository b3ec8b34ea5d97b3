// Patches from one version of a text to the next. A patch holds what the two
// differ in, compressed, so its size follows the change and not the text.
#ifndef ZINNIAGAUGE_STORE_TEXT_PATCH_H
#define ZINNIAGAUGE_STORE_TEXT_PATCH_H

#include "zinniagauge/board/error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace zinniagauge {

/// The patch that makes \p after from \p before. With an empty \p before it is
/// \p after, compressed.
[[nodiscard]] std::string makePatch(std::string_view before,
                                    std::string_view after);

/// The text that \p patch makes from \p before. Fails with Invalid if \p patch
/// is damaged, was made for another text, or its result is longer than
/// \p maxbytes.
[[nodiscard]] Result<std::string> applyPatch(std::string_view before,
                                             std::string_view patch,
                                             std::size_t maxbytes);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_STORE_TEXT_PATCH_H
