/** Certificate, key and trusted authorities, as PEM text. */
export interface TlsMaterial {
  readonly certificate: string;
  readonly key: string;
  /** Authorities that sign the members' and operators' certificates. */
  readonly authorities: string;
}
