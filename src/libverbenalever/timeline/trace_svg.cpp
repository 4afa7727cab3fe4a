#include "timeline/trace_svg.h"

#include "timeline/trace_lanes.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <string_view>

namespace verbenalever {

namespace {

constexpr double label_width = 130; // all sizes are in pixels
constexpr double plot_width = 1400;
constexpr double row_height = 14;
constexpr double lane_gap = 8;
constexpr double header_height = 46;
constexpr int ticks = 10;
constexpr double min_bar_width = 1;

std::string escaped(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        if (character == '<')
            result += "&lt;";
        else if (character == '>')
            result += "&gt;";
        else if (character == '&')
            result += "&amp;";
        else if (static_cast<unsigned char>(character) >= ' ')
            result += character;
    }
    return result;
}

/// @return the colour of a team; the same in every drawing
std::string fill_of(std::string_view team)
{
    unsigned hash = 2166136261U; // FNV-1a
    for (const char character : team)
        hash = (hash ^ static_cast<unsigned char>(character)) * 16777619U;
    return fmt::format("hsl({},55%,60%)", hash % 360U);
}

/// Writes the elements of one drawing.
class svg_writer {
public:
    explicit svg_writer(const trace_lanes& lanes)
        : lanes(lanes),
          scale(plot_width / static_cast<double>(std::max<std::int64_t>(lanes.span_us(), 1)))
    {
    }

    [[nodiscard]] std::string document()
    {
        std::string body;
        this->out = &body;
        double top = header_height;
        for (const auto& lane : this->lanes.all())
            top = this->draw_lane(lane, top);
        const auto bottom = top;
        this->draw_ticks(bottom);
        return fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" "
                           "font-family=\"sans-serif\" font-size=\"10\">\n"
                           "<rect width=\"{0}\" height=\"{1}\" fill=\"white\"/>\n"
                           "<text x=\"4\" y=\"14\">bars: runs of tasks and requests, coloured by "
                           "team; red: faults "
                           "and ends; blue: other changes of state</text>\n{2}</svg>\n",
                           label_width + plot_width + 20, bottom + 10, body);
    }

private:
    [[nodiscard]] double x_of(std::int64_t mono_us) const
    {
        return label_width + static_cast<double>(mono_us - this->lanes.start_us()) * this->scale;
    }

    double draw_lane(const trace_lanes::lane& lane, double top)
    {
        const auto height = row_height * static_cast<double>(std::max<std::size_t>(lane.rows, 1));
        fmt::format_to(std::back_inserter(*this->out),
                       "<rect x=\"{}\" y=\"{:.0f}\" width=\"{}\" height=\"{:.0f}\" "
                       "fill=\"#f4f4f4\"/><text x=\"4\" y=\"{:.0f}\">{}</text>\n",
                       label_width, top, plot_width, height, top + 11, escaped(lane.process));
        for (const auto& bar : lane.bars)
            fmt::format_to(
                std::back_inserter(*this->out),
                "<rect x=\"{:.2f}\" y=\"{:.0f}\" width=\"{:.2f}\" height=\"{}\" fill=\"{}\">"
                "<title>{}</title></rect>\n",
                this->x_of(bar.start_us), top + row_height * static_cast<double>(bar.row) + 2,
                std::max(min_bar_width,
                         static_cast<double>(bar.end_us - bar.start_us) * this->scale),
                row_height - 4, fill_of(bar.team), escaped(bar.title));
        for (const auto& mark : lane.marks)
            fmt::format_to(std::back_inserter(*this->out),
                           "<line x1=\"{0:.2f}\" x2=\"{0:.2f}\" y1=\"{1:.0f}\" y2=\"{2:.0f}\" "
                           "stroke=\"{3}\" stroke-width=\"1.5\"><title>{4}</title></line>\n",
                           this->x_of(mark.at_us), top - 3, top + height + 3,
                           mark.fault ? "#d02020" : "#3060c0", escaped(mark.title));
        return top + height + lane_gap;
    }

    void draw_ticks(double bottom)
    {
        for (int tick = 0; tick <= ticks; ++tick) {
            const auto x = label_width + plot_width * tick / ticks;
            const auto seconds = static_cast<double>(this->lanes.span_us()) * tick / ticks / 1e6;
            fmt::format_to(std::back_inserter(*this->out),
                           "<line x1=\"{0:.0f}\" x2=\"{0:.0f}\" y1=\"34\" y2=\"{1:.0f}\" "
                           "stroke=\"#cccccc\" stroke-width=\"0.5\"/>"
                           "<text x=\"{0:.0f}\" y=\"30\" text-anchor=\"middle\">{2:.2f} s</text>\n",
                           x, bottom, seconds);
        }
    }

    const trace_lanes& lanes;
    double scale; ///< pixels per microsecond
    std::string* out = nullptr;
};

} // namespace

std::string trace_svg(std::span<const trace_event> events)
{
    const trace_lanes lanes(events);
    return svg_writer(lanes).document();
}

} // namespace verbenalever
