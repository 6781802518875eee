/** Certificate, private key and trusted authorities, as PEM texts. */
export interface TlsMaterial {
  readonly certificate: string;
  readonly key: string;
  /**
   * Certificate authorities that sign the certificates of members and
   * operators.
   */
  readonly authorities: string;
}
