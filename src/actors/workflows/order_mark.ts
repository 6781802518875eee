/**
 * Identifies one recorded order for a machine: fencing token and number of the
 * order, with its Unix time in ms for operators.
 */
export type OrderMark = string;

/** Creates the mark of an order. */
export function createOrderMark(
  fence: number,
  number: number,
  unixMs: number,
): OrderMark {
  return `${fence}.${number} ${Math.round(unixMs)}`;
}

/**
 * Parses the record of machine orders.
 *
 * @param text JSON text; earlier versions stored only the time of an order
 * @returns marks by machine
 */
export function readOrderMarks(text: string): ReadonlyMap<string, OrderMark> {
  const stored = JSON.parse(text) as Record<string, unknown>;
  return new Map(
    Object.entries(stored).map(([machine, mark]) => [machine, String(mark)]),
  );
}
