#ifndef WIGEONSTAIR_LIBRARIES_REPORT_SVG_PLOT_H_
#define WIGEONSTAIR_LIBRARIES_REPORT_SVG_PLOT_H_

#include <string>

#include "report/plot.h"

namespace wigeonstair::report {

// The plot as an <svg> element with axes, units and a legend. Points that are
// not finite, and on a logarithmic axis those not above zero, are not drawn;
// their number is written below the plot. A plot without any point says so.
std::string RenderSvg(const Plot& plot);

}  // namespace wigeonstair::report

#endif  // WIGEONSTAIR_LIBRARIES_REPORT_SVG_PLOT_H_
