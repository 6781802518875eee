/**
 * Returns a loopback address of a network that only this test process uses.
 *
 * @param index index of the address, below 250
 */
export function getLoopbackAddress(index: number): string {
  const network = 170 + ((process.pid >> 8) & 63);
  return `127.${network}.${process.pid & 255}.${index + 1}`;
}
