/**
 * Source of TLS material: each property is the path of a PEM file or PEM text.
 */
export interface TlsSource {
  readonly certificate: string;
  readonly key: string;
  readonly authorities: string;
}
