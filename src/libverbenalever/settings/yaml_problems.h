#pragma once

#include <absl/status/status.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

/// Collects the problems of one YAML document, so that all of them are reported at once.
class yaml_problems {
public:
    /// @param file name of the document in the messages
    explicit yaml_problems(std::string file);

    /// Add one problem.
    /// @param line one-based line in the document; zero when unknown
    /// @param path dotted path of the setting
    void add(int line, std::string_view path, std::string_view message);

    /// Report problems of the setting at @p path, and of all settings below it, under another file.
    void set_source_file(std::string path, std::string file);

    [[nodiscard]] bool empty() const;

    /// @return OK, or INVALID_ARGUMENT with a line "FILE:LINE: PATH: MESSAGE" for each problem
    [[nodiscard]] absl::Status status() const;

private:
    [[nodiscard]] std::string_view source_file_of(std::string_view path) const;

    std::string file;
    std::map<std::string, std::string, std::less<>>
        source_files; ///< file names, by path of the setting
    std::vector<std::string> lines;
};

} // namespace verbenalever
