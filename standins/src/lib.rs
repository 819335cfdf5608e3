//! Stand-ins for the platform, engines and services around the product.
