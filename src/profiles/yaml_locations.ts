import {Document, LineCounter, isMap, isNode, isScalar} from 'yaml';

/**
 * Locates the parts of a YAML text; locations have the form file:line:column.
 */
export interface YamlLocations {
  /** Returns the location of an offset in the text. */
  atOffset(offset: number): string;
  /**
   * Returns the location of the value at a path, or of its nearest existing
   * ancestor.
   */
  atPath(document: Document, path: readonly PropertyKey[]): string;
  /**
   * Returns the location of a key in the map at a path, or of the path if the
   * key doesn't exist.
   */
  atKey(document: Document, path: readonly PropertyKey[], key: string): string;
}

/**
 * Creates the locations of a parsed text.
 *
 * @param source name of the file
 * @param lines line counter that was passed to the parser
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
