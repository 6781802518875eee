declare const SESAMEFRONT_BUILD_VERSION: string | undefined;

/** Version of the build; "development" when not run from the built binary. */
export const VERSION =
  typeof SESAMEFRONT_BUILD_VERSION === 'string'
    ? SESAMEFRONT_BUILD_VERSION
    : 'development';
