#include "load_verb.h"

#include "exit_codes.h"
#include "flags.h"
#include "load_generator.h"
#include "session.h"

#include <fmt/format.h>

#include <cstdio>

namespace tool {

int run_load(session& current_session, std::span<const std::string>)
{
    if (FLAGS_rate <= 0 || FLAGS_duration_s <= 0) {
        fmt::print(stderr,
                   "verbenalever load: --rate and --duration_s must be greater than zero\n");
        return exit_usage;
    }
    load_generator generator(current_session);
    generator.run();
    generator.print_report();
    return generator.answered() > 0 ? exit_ok : exit_failed;
}

} // namespace tool
