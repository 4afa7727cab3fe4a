#pragma once

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/mark.h>

#include <optional>
#include <string>

namespace verbenalever {

/// Parser event handler that records the position of the first alias in a YAML document.
class yaml_alias_finder : public YAML::EventHandler {
public:
    /// @return the position of the first alias; nullopt when there is none
    [[nodiscard]] const std::optional<YAML::Mark>& first_alias() const
    {
        return this->first_alias_mark;
    }

    void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override
    {
        if (!this->first_alias_mark)
            this->first_alias_mark = mark;
    }
    void OnDocumentStart(const YAML::Mark&) override {}
    void OnDocumentEnd() override {}
    void OnNull(const YAML::Mark&, YAML::anchor_t) override {}
    void OnScalar(const YAML::Mark&, const std::string&, YAML::anchor_t,
                  const std::string&) override
    {
    }
    void OnSequenceStart(const YAML::Mark&, const std::string&, YAML::anchor_t,
                         YAML::EmitterStyle::value) override
    {
    }
    void OnSequenceEnd() override {}
    void OnMapStart(const YAML::Mark&, const std::string&, YAML::anchor_t,
                    YAML::EmitterStyle::value) override
    {
    }
    void OnMapEnd() override {}

private:
    std::optional<YAML::Mark> first_alias_mark;
};

} // namespace verbenalever
