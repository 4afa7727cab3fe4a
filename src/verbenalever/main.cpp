// Command-line tool for callers and operators. Verbs may be chained with "then".

#include "exit_codes.h"
#include "flags.h"
#include "session.h"
#include "verb.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace {

using tool::verb;

constexpr std::string_view chain_separator = "then";

void print_help()
{
    fmt::print("usage: verbenalever [--entry ADDRESS:PORT] [--key KEY] [--json] VERB ... "
               "[then VERB ...]\n\nverbs:\n");
    for (const auto& candidate : tool::all_verbs())
        fmt::print("  {:<42}{}\n", fmt::format("{} {}", candidate.name, candidate.arguments),
                   candidate.summary);
    fmt::print(
        "\n'verbenalever VERB --help' describes one verb and its flags.\n"
        "The key may also come from the environment variable VERBENALEVER_KEY.\n"
        "exit codes: 0 done, 1 failed, 2 usage, 3 not run, 4 outcome unknown, "
        "5 unreachable;\n"
        "config check: 6 an entry never matches, 7 limits contradict each other, 8 with --compare: "
        "differs from the version in force\n");
}

void print_verb_help(const verb& selected)
{
    fmt::print("usage: verbenalever {} {}\n\n{}\n", selected.name, selected.arguments,
               selected.summary);
    std::string flags(selected.flags);
    for (std::size_t start = 0; start < flags.size();) {
        const auto end = std::min(flags.find(' ', start), flags.size());
        gflags::CommandLineFlagInfo info;
        if (gflags::GetCommandLineFlagInfo(flags.substr(start, end - start).c_str(), &info))
            fmt::print("  --{:<16}{} (default: {})\n", info.name, info.description,
                       info.default_value.empty() ? "none" : info.default_value);
        start = end + 1;
    }
}

/// @return how many of the first words are the name of the verb; zero if they do not match it
std::size_t count_name_words(const verb& candidate, std::span<const std::string> words)
{
    std::string joined;
    for (std::size_t i = 0; i < words.size() && i < 2; ++i) {
        joined += (i == 0 ? "" : " ") + words[i];
        if (joined == candidate.name)
            return i + 1;
    }
    return 0;
}

int run_verb(tool::session& current_session, std::vector<std::string> words)
{
    const bool help = std::erase_if(words, [](const std::string& word) {
                          return word == "--help" || word == "-h" || word == "help";
                      }) > 0;
    if (words.empty()) {
        print_help();
        return help ? tool::exit_ok : tool::exit_usage;
    }
    for (const auto& candidate : tool::all_verbs()) {
        const auto name_word_count = count_name_words(candidate, words);
        if (name_word_count == 0)
            continue;
        if (help) {
            print_verb_help(candidate);
            return tool::exit_ok;
        }
        return candidate.run(current_session, std::span(words).subspan(name_word_count));
    }
    fmt::print(stderr, "verbenalever: unknown verb '{}'; see --help\n", words.front());
    return tool::exit_usage;
}

/// Parse the flags of one command of the chain into the global FLAGS_ variables. They keep their
/// values for the commands after it.
/// @return the words that are not flags, and --help or -h at the end
std::vector<std::string> parse_flags(const std::string& program, std::vector<std::string> words)
{
    std::vector<char*> arguments{const_cast<char*>(program.data())};
    std::vector<std::string> help_words;
    for (auto& word : words) {
        if (word == "--help" || word == "-h")
            help_words.push_back(word);
        else
            arguments.push_back(word.data());
    }
    int argument_count = static_cast<int>(arguments.size());
    char** argument_values = arguments.data();
    gflags::ParseCommandLineFlags(&argument_count, &argument_values, true);
    std::vector<std::string> remaining(argument_values + 1, argument_values + argument_count);
    remaining.insert(remaining.end(), help_words.begin(), help_words.end());
    return remaining;
}

std::vector<std::vector<std::string>> split_commands(std::span<char*> arguments)
{
    std::vector<std::vector<std::string>> commands(1);
    for (const char* argument : arguments) {
        if (argument == chain_separator)
            commands.emplace_back();
        else
            commands.back().emplace_back(argument);
    }
    return commands;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetVersionString(VERBENALEVER_VERSION);
    if (const char* key = std::getenv("VERBENALEVER_KEY"); key != nullptr)
        FLAGS_key = key;
    tool::session current_session;
    for (auto& command : split_commands(std::span(argv + 1, static_cast<std::size_t>(argc - 1)))) {
        const auto words = parse_flags(argv[0], std::move(command));
        if (const int code = run_verb(current_session, words); code != tool::exit_ok)
            return code;
    }
    return tool::exit_ok;
}
