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

/// Sends each question to the advisor through one of the connected VMs.
///
/// The advisor serves one call at a time for each VM, so a short question behind a long one waits
/// until that is answered. Long questions therefore use only some of the VMs, and the others are
/// reserved for short ones; more VMs are reserved the more time recent short questions took. Of the
/// VMs that a question may use, the one that is expected to answer it first sends it.
class advice_dispatcher {
public:
    using answer_callback = std::function<void(advice_answer)>;
    /// Sends a question through one VM; on failure or timeout the callback gets `answered ==
    /// false`.
    using question_sender =
        std::function<void(const advice_question&, milliseconds timeout, answer_callback)>;

    advice_dispatcher();
    ~advice_dispatcher();
    advice_dispatcher(const advice_dispatcher&) = delete;
    advice_dispatcher& operator=(const advice_dispatcher&) = delete;

    void add_vm(const std::string& vm, question_sender ask);
    void remove_vm(const std::string& vm);

    /// Sends a question through the VM that will be free first.
    /// @param cost expected time that the advisor takes to answer
    /// @param done called with the answer, possibly within this call; never when false is returned
    /// @return false when no VM is free; the caller retries later
    bool ask(const advice_question& question, milliseconds cost, answer_callback done);

    /// @return number of VMs that would send a long question to the advisor without waiting
    [[nodiscard]] std::size_t free_long_vms() const;

    /// @return number of VMs that can reach the advisor
    [[nodiscard]] std::size_t vm_count() const
    {
        return this->vms.size();
    }

    /// A question that takes longer than this is long: it would use up much of the latency
    /// objective of an urgent job.
    static constexpr milliseconds long_question{250};

private:
    struct vm_state {
        question_sender ask;
        milliseconds busy_until{0}; ///< time since boot by which all its questions are answered
        int open_questions = 0;
        /// Serial number; a VM that is removed and added again gets a new one.
        std::uint64_t registration = 0;
    };

    /// @return number of VMs, from the first in order of name, that may send long questions
    [[nodiscard]] std::size_t long_vm_count(milliseconds now) const;
    /// @return total cost of recent short questions in milliseconds; the weight of a question
    /// decreases exponentially with its age
    [[nodiscard]] double decayed_short_work(milliseconds now) const;
    /// @return the VM that will answer first; null when all would make the question wait too long
    [[nodiscard]] vm_state* choose_vm(bool is_long, milliseconds now, milliseconds cost);

    std::map<std::string, vm_state> vms;
    std::uint64_t last_registration = 0;
    double short_work_ms = 0;              ///< decayed_short_work() as of short_work_updated_at
    milliseconds short_work_updated_at{0}; ///< time since boot of the last short question
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
