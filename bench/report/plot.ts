import {scaleLinear} from 'd3-scale';
import {line} from 'd3-shape';
import {Series} from '../shared';

const WIDTH = 640;
const HEIGHT = 320;
const LEFT = 70;
const RIGHT = 20;
const TOP = 30;
const BOTTOM = 60;
const TICKS = 5;
const COLOURS = ['#1f5fa8', '#c2571a', '#2d7d46', '#7a3e9d', '#555555'];

interface Point {
  readonly x: number;
  readonly y: number;
}

/**
 * Draws a plot as SVG text.
 *
 * @param series title, axes and lines
 */
export function drawPlot(series: Series): string {
  const points = series.lines.flatMap(known => known.points);
  const x = scaleLinear()
    .domain(rangeOf(points.map(point => point.x)))
    .range([LEFT, WIDTH - RIGHT])
    .nice();
  const y = scaleLinear()
    .domain(rangeOf(points.map(point => point.y)))
    .range([HEIGHT - BOTTOM, TOP])
    .nice();
  const path = line<Point>()
    .x(point => x(point.x))
    .y(point => y(point.y));
  const parts = [
    text(WIDTH / 2, TOP / 2, series.title, 'middle'),
    text(WIDTH / 2, HEIGHT - BOTTOM / 2 + 4, series.xLabel, 'middle'),
    text(LEFT, TOP - 4, series.yLabel, 'end'),
    rule(LEFT, TOP, LEFT, HEIGHT - BOTTOM),
    rule(LEFT, HEIGHT - BOTTOM, WIDTH - RIGHT, HEIGHT - BOTTOM),
    ...x
      .ticks(TICKS)
      .map(tick => text(x(tick), HEIGHT - BOTTOM + 14, tick, 'middle')),
    ...y.ticks(TICKS).map(tick => text(LEFT - 6, y(tick) + 4, tick, 'end')),
    ...series.lines.flatMap(({label, points: known}, i) => {
      const colour = COLOURS[i % COLOURS.length];
      const legendX = LEFT + i * 180;
      return [
        `<path d="${path([...known])}" fill="none" stroke="${colour}" stroke-width="2"/>`,
        ...known.map(
          point =>
            `<circle cx="${x(point.x)}" cy="${y(point.y)}" r="2.5" fill="${colour}"/>`,
        ),
        `<rect x="${legendX}" y="${HEIGHT - 16}" width="10" height="10" fill="${colour}"/>`,
        text(legendX + 14, HEIGHT - 7, label, 'start'),
      ];
    }),
  ];
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="11">${parts.join('')}</svg>`;
}

function rangeOf(values: readonly number[]): [number, number] {
  return [Math.min(0, ...values), Math.max(...values)];
}

function text(
  x: number,
  y: number,
  content: string | number,
  anchor: 'start' | 'middle' | 'end',
): string {
  return `<text x="${x}" y="${y}" text-anchor="${anchor}">${escapeText(String(content))}</text>`;
}

function rule(x1: number, y1: number, x2: number, y2: number): string {
  return `<line x1="${x1}" y1="${y1}" x2="${x2}" y2="${y2}" stroke="#333"/>`;
}

/** Replaces the characters that HTML and SVG give a meaning. */
export function escapeText(content: string): string {
  return content
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;');
}
