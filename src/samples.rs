//! Steps of trainers: samples generated, graded, recorded and delivered once; release of weights.
