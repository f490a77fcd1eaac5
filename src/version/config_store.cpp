#include "tarragonlock/version/config_store.hpp"

#include <absl/strings/str_split.h>

#include <algorithm>
#include <string_view>
#include <thread>
#include <vector>

namespace tarragonlock
{

namespace
{

const std::string config_key = "tarragonlock/config";
constexpr std::string_view apply_id_prefix = "# applied as ";
constexpr int reads_after_lost_answer = 5;
constexpr auto read_interval = std::chrono::milliseconds(500);

std::string with_apply_id(const std::string& text, const std::string& apply_id)
{
    return std::string(apply_id_prefix) + apply_id + "\n" + text;
}

std::string without_apply_id(const std::string& text)
{
    return text.starts_with(apply_id_prefix) ? text.substr(text.find('\n') + 1) : text;
}

std::vector<std::string> lines_of(const std::string& text)
{
    return absl::StrSplit(text, '\n');
}

/// Lengths of the longest common subsequences of the suffixes of a and b.
std::vector<std::vector<std::size_t>> common_lengths(const std::vector<std::string>& a,
                                                     const std::vector<std::string>& b)
{
    std::vector<std::vector<std::size_t>> lengths(a.size() + 1,
                                                  std::vector<std::size_t>(b.size() + 1));
    for (std::size_t i = a.size(); i-- > 0;)
    {
        for (std::size_t j = b.size(); j-- > 0;)
            lengths[i][j] = a[i] == b[j] ? lengths[i + 1][j + 1] + 1
                                         : std::max(lengths[i + 1][j], lengths[i][j + 1]);
    }
    return lengths;
}

/// Determines by reading whether a write whose answer was lost took effect.
apply_report resolve_lost_write(store_connection& store, const std::string& written,
                                std::int64_t base_version)
{
    for (int attempt = 0; attempt < reads_after_lost_answer; ++attempt)
    {
        std::this_thread::sleep_for(read_interval);
        const auto read = store.read_all();
        if (!read)
            continue;
        for (const auto& item : read.value().first.items)
        {
            if (item.key != config_key)
                continue;
            const stored_document current{item.revision, without_apply_id(item.value)};
            if (item.value == written)
                return {apply_outcome::applied, current};
            if (item.revision != base_version)
                return {apply_outcome::conflict, current};
        }
    }
    return {apply_outcome::in_doubt, {}};
}

} // namespace

result<stored_document> read_document(store_connection& store)
{
    const auto read = store.read_all();
    if (!read)
        return read.error();
    for (const auto& item : read.value().first.items)
    {
        if (item.key == config_key)
            return stored_document{item.revision, without_apply_id(item.value)};
    }
    return stored_document{};
}

result<apply_report> apply_document(store_connection& store, const std::string& text,
                                    std::int64_t base_version, const std::string& apply_id)
{
    const auto before = read_document(store);
    if (!before)
        return before.error();
    if (before.value().version != base_version)
        return apply_report{apply_outcome::conflict, before.value()};
    if (before.value().text == text)
        return apply_report{apply_outcome::unchanged, before.value()};
    const auto written = with_apply_id(text, apply_id);
    const auto swapped = store.swap(config_key, base_version, written);
    if (!swapped)
        return resolve_lost_write(store, written, base_version);
    if (swapped.value().swapped)
        return apply_report{apply_outcome::applied, {swapped.value().revision, text}};
    const auto& item = swapped.value().current;
    if (!item)
        return apply_report{apply_outcome::conflict, {}};
    // The connection retries a write whose answer was lost at the service's next address; the retry
    // is then rejected because the first attempt took effect.
    const auto outcome = item->value == written ? apply_outcome::applied : apply_outcome::conflict;
    return apply_report{outcome, {item->revision, without_apply_id(item->value)}};
}

std::string diff_lines(const std::string& before, const std::string& after)
{
    const auto old_lines = lines_of(before);
    const auto new_lines = lines_of(after);
    const auto lengths = common_lengths(old_lines, new_lines);
    std::string diff;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < old_lines.size() || j < new_lines.size())
    {
        if (i < old_lines.size() && j < new_lines.size() && old_lines[i] == new_lines[j])
        {
            ++i;
            ++j;
        }
        else if (j == new_lines.size() ||
                 (i < old_lines.size() && lengths[i + 1][j] >= lengths[i][j + 1]))
            diff += "-" + old_lines[i++] + "\n";
        else
            diff += "+" + new_lines[j++] + "\n";
    }
    return diff;
}

} // namespace tarragonlock
