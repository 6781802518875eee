/** Where TLS material comes from: each is a file's path, or PEM text itself. */
export interface TlsSource {
  readonly certificate: string;
  readonly key: string;
  readonly authorities: string;
}
