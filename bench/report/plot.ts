import {scaleLinear} from 'd3-scale';
import {line} from 'd3-shape';
import {Series} from '../shared';

const WIDTH = 640;
const HEIGHT = 320;
const MARGIN_LEFT = 70;
const MARGIN_RIGHT = 20;
const MARGIN_TOP = 30;
const MARGIN_BOTTOM = 60;
const TICK_COUNT = 5;
const COLOURS = ['#1f5fa8', '#c2571a', '#2d7d46', '#7a3e9d', '#555555'];

interface Point {
  readonly x: number;
  readonly y: number;
}

/**
 * Returns a plot as an SVG element.
 *
 * @param series title, axis labels and lines of the plot
 */
export function drawPlot(series: Series): string {
  const points = series.lines.flatMap(seriesLine => seriesLine.points);
  const x = scaleLinear()
    .domain(rangeOf(points.map(point => point.x)))
    .range([MARGIN_LEFT, WIDTH - MARGIN_RIGHT])
    .nice();
  const y = scaleLinear()
    .domain(rangeOf(points.map(point => point.y)))
    .range([HEIGHT - MARGIN_BOTTOM, MARGIN_TOP])
    .nice();
  const path = line<Point>()
    .x(point => x(point.x))
    .y(point => y(point.y));
  const parts = [
    drawText(WIDTH / 2, MARGIN_TOP / 2, series.title, 'middle'),
    drawText(
      WIDTH / 2,
      HEIGHT - MARGIN_BOTTOM / 2 + 4,
      series.xLabel,
      'middle',
    ),
    drawText(MARGIN_LEFT, MARGIN_TOP - 4, series.yLabel, 'end'),
    drawAxis(MARGIN_LEFT, MARGIN_TOP, MARGIN_LEFT, HEIGHT - MARGIN_BOTTOM),
    drawAxis(
      MARGIN_LEFT,
      HEIGHT - MARGIN_BOTTOM,
      WIDTH - MARGIN_RIGHT,
      HEIGHT - MARGIN_BOTTOM,
    ),
    ...x
      .ticks(TICK_COUNT)
      .map(tick =>
        drawText(x(tick), HEIGHT - MARGIN_BOTTOM + 14, tick, 'middle'),
      ),
    ...y
      .ticks(TICK_COUNT)
      .map(tick => drawText(MARGIN_LEFT - 6, y(tick) + 4, tick, 'end')),
    ...series.lines.flatMap(({label, points: linePoints}, i) => {
      const colour = COLOURS[i % COLOURS.length];
      const legendX = MARGIN_LEFT + i * 180;
      return [
        `<path d="${path([...linePoints])}" fill="none" stroke="${colour}" stroke-width="2"/>`,
        ...linePoints.map(
          point =>
            `<circle cx="${x(point.x)}" cy="${y(point.y)}" r="2.5" fill="${colour}"/>`,
        ),
        `<rect x="${legendX}" y="${HEIGHT - 16}" width="10" height="10" fill="${colour}"/>`,
        drawText(legendX + 14, HEIGHT - 7, label, 'start'),
      ];
    }),
  ];
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="11">${parts.join('')}</svg>`;
}

function rangeOf(values: readonly number[]): [number, number] {
  return [Math.min(0, ...values), Math.max(...values)];
}

function drawText(
  x: number,
  y: number,
  content: string | number,
  anchor: 'start' | 'middle' | 'end',
): string {
  return `<text x="${x}" y="${y}" text-anchor="${anchor}">${escapeText(String(content))}</text>`;
}

function drawAxis(x1: number, y1: number, x2: number, y2: number): string {
  return `<line x1="${x1}" y1="${y1}" x2="${x2}" y2="${y2}" stroke="#333"/>`;
}

/**
 * Escapes the characters that are markup in the text content of HTML and SVG.
 */
export function escapeText(content: string): string {
  return content
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;');
}
