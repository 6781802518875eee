/** One pool of a site as the brief gives it. */
export interface SitePool {
  readonly name: string;
  readonly workers: number;
  readonly spare: boolean;
}

/** The sizes of a site. */
export interface Site {
  readonly name: string;
  readonly availabilityZones: readonly string[];
  readonly pools: readonly SitePool[];
}
