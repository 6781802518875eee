/** The operators' page, an HTML overview on the operators' port. */
export * from './page_routes';
export * from './render_page';
