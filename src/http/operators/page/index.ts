/** The HTML status page on the operators' port. */
export * from './page_routes';
export * from './render_page';
