#pragma once

#include "loop/clock.h"
#include "ports/advice.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace verbenalever {

/// Chooses the VM that puts a question to the advisor.
///
/// The advisor serves one call at a time for each VM, so a short question behind a long one waits
/// for all of it. Long questions go to part of the VMs only, of which there are more the fewer the
/// short ones keep busy, and each question to the VM that will be free first.
class advice_dispatcher {
public:
    using answer_callback = std::function<void(advice_answer)>;
    /// Puts a question on behalf of one VM.
    using question_sender =
        std::function<void(const advice_question&, milliseconds timeout, answer_callback)>;

    advice_dispatcher();
    ~advice_dispatcher();
    advice_dispatcher(const advice_dispatcher&) = delete;
    advice_dispatcher& operator=(const advice_dispatcher&) = delete;

    void add_vm(const std::string& vm, question_sender ask);
    void remove_vm(const std::string& vm);

    /// @param cost the time that the advisor will take for the question
    /// @return whether a VM could take the question; if not, ask again later
    bool ask(const advice_question& question, milliseconds cost, answer_callback done);

    /// @return VMs that could take a long question at once
    [[nodiscard]] std::size_t free_long_vms() const;

    /// A question that takes longer than this is long: a large part of an urgent objective.
    static constexpr milliseconds long_question{250};

private:
    struct vm_state {
        question_sender ask;
        milliseconds busy_until{0}; ///< boot time
        int open_questions = 0;
        std::uint64_t registration = 0; ///< tells a VM that left and came back from itself
    };

    [[nodiscard]] std::size_t long_vm_count(milliseconds now) const;
    /// @return milliseconds of short questions lately, faded by their age
    [[nodiscard]] double decayed_short_work(milliseconds now) const;
    [[nodiscard]] vm_state* choose_vm(bool is_long, milliseconds now, milliseconds cost);

    std::map<std::string, vm_state> vms;
    std::uint64_t last_registration = 0;
    double short_work_ms = 0;              ///< milliseconds of short questions lately, fading
    milliseconds short_work_updated_at{0}; ///< boot time of the last one
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
