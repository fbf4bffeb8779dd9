package report

import "image/color"

// lineColours are the colours of the lines of a plot.
var lineColours = []color.Color{color.RGBA{R: 90, G: 90, B: 90, A: 255}, color.RGBA{R: 200, A: 255}}
