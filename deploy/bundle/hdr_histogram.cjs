// Histograms without the library's WebAssembly and log formats, which a router doesn't use.
const {
  default: Int32Histogram,
} = require("../../node_modules/hdr-histogram-js/dist/Int32Histogram.js");

/** Builds a histogram as the library's own builder does. */
function build({ autoResize, numberOfSignificantValueDigits }) {
  const histogram = new Int32Histogram(1, 2, numberOfSignificantValueDigits);
  histogram.autoResize = autoResize;
  return histogram;
}

module.exports = { build };
