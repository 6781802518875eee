import {Document, LineCounter, isMap, isNode, isScalar} from 'yaml';

/** Finds the places of a YAML text's parts as file:line:column. */
export interface YamlLocations {
  /** Place of an offset in the text. */
  atOffset(offset: number): string;
  /** Place of the value at a path, or of the nearest part above it that exists. */
  atPath(document: Document, path: readonly PropertyKey[]): string;
  /** Place of a key of the map at a path. */
  atKey(document: Document, path: readonly PropertyKey[], key: string): string;
}

/**
 * Creates the places of one text.
 *
 * @param source name of the file
 * @param lines line counter that the parser filled
 */
export function createYamlLocations(
  source: string,
  lines: LineCounter,
): YamlLocations {
  function atOffset(offset: number): string {
    const {line, col} = lines.linePos(offset);
    return `${source}:${line}:${col}`;
  }

  function atPath(document: Document, path: readonly PropertyKey[]): string {
    for (let length = path.length; length >= 0; length -= 1) {
      const node = document.getIn(path.slice(0, length), true);
      if (isNode(node) && node.range) return atOffset(node.range[0]);
    }
    return atOffset(document.range?.[0] ?? 0);
  }

  return {
    atOffset,
    atPath,
    atKey(document, path, key) {
      const map = document.getIn(path, true);
      const pair = isMap(map)
        ? map.items.find(item => isScalar(item.key) && item.key.value === key)
        : undefined;
      const range = isScalar(pair?.key) ? pair.key.range : undefined;
      return range ? atOffset(range[0]) : atPath(document, path);
    },
  };
}
